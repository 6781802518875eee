/** Priority of a profile's work relative to other profiles, highest first. */
export enum Rank {
  Urgent = 'urgent',
  High = 'high',
  Normal = 'normal',
  Low = 'low',
}
