import {SelectorKind} from './selector_kind';

/** The hosts that a maintenance wave covers. */
export interface Selector {
  readonly kind: SelectorKind;
  /** Name of the pool, rack, availability zone or host; empty for all. */
  readonly name: string;
}
