/** A decoded value of the store with the version it was read at. */
export interface MirrorEntry<T> {
  readonly key: string;
  readonly version: number;
  readonly value: T;
}
