import {SelectorKind} from './selector_kind';

/** Selects the hosts that a maintenance wave covers. */
export interface Selector {
  readonly kind: SelectorKind;
  /**
   * Name of the pool, rack, availability zone or host; empty to select all
   * hosts.
   */
  readonly name: string;
}
