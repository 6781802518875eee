/** Rank of a profile's work against its neighbours, highest first. */
export enum Rank {
  Urgent = 'urgent',
  High = 'high',
  Normal = 'normal',
  Low = 'low',
}
