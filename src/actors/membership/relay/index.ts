/** Relay of the store's control records between members. */
export * from './relay';
export {RELAYED_PREFIXES} from './relay_logs';
