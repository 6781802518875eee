/** A decoded value of the store, with the version at which it was read. */
export interface MirrorEntry<T> {
  readonly key: string;
  readonly version: number;
  readonly value: T;
}
