/** Kinds of faults from outside, and of the operator's planned work. */
export enum FaultKind {
  // Of a link.
  Delay = 'delay',
  Reset = 'reset',
  CutRequests = 'cut-requests',
  CutAnswers = 'cut-answers',
  BadAnswers = 'bad-answers',
  Silence = 'silence',
  // Of an entry host's process.
  Terminate = 'sigterm',
  Kill = 'sigkill',
  Freeze = 'sigstop',
  Reload = 'sighup',
  /** The process gets no processor time for 20 to 400 ms at a time. */
  Starve = 'starve',
  /** All processes are killed at once, right after work was accepted. */
  PowerCut = 'power-cut',
  /** Settings are half written, or replaced, with a burst of SIGHUP. */
  Settings = 'settings',
  /** A signal arrives while the process starts. */
  SignalAtStart = 'signal-at-start',
  /** The process starts while its settings are half written. */
  SettingsAtStart = 'settings-at-start',
  /** The process starts while it can't reach the store. */
  StartAway = 'start-away',
  /** The next process starts before the previous one has ended. */
  Overlap = 'overlap',
  Output = 'output',
  AddEntry = 'add-entry',
  // Of the store.
  SlowStore = 'slow-store',
  LostWrites = 'lost-writes',
  TurnedAway = 'turned-away',
  DroppedHistory = 'dropped-history',
  RevokedLease = 'revoked-lease',
  /** Another program writes registrations. */
  ForeignEntries = 'foreign-entries',
  // Of a host.
  HostCrash = 'host-crash',
  /** A host crashes and starts again under its id. */
  HostRestart = 'host-restart',
  HostDrain = 'host-drain',
  HostHang = 'host-hang',
  HostErrors = 'host-errors',
  LateOrders = 'late-orders',
  /** Late orders that reach the next incarnation of a host, too. */
  OutlivingOrders = 'outliving-orders',
  /** A host's entry in the registry lapses and comes back late. */
  LapsedEntry = 'lapsed-entry',
  // Of callers.
  BadCallers = 'bad-callers',
  // Of the operator.
  Configure = 'configure',
  /** The configuration grows by many routes. */
  Grow = 'grow',
  Wave = 'wave',
}

/** Links that have a proxy. */
export enum LinkKind {
  Callers = 'callers',
  Store = 'store',
  Machines = 'machines',
  Hosts = 'hosts',
}

/** One fault of a list. */
export interface Fault {
  readonly kind: FaultKind;
  /** Time of its start in ms after the start of the load. */
  readonly atMs: number;
  readonly forMs: number;
  /** Index of the entry host or machine; counted modulo their number. */
  readonly target: number;
  /** Which of the target's links; set for faults of links. */
  readonly link?: LinkKind;
  /**
   * Whether all targets are hit instead of one; for signals, whether the leader
   * is.
   */
  readonly wide: boolean;
  /** Delay in ms or share in percent, where the kind has one. */
  readonly amount: number;
}

/**
 * Kinds that are planned work: they excuse nothing but what they cause
 * themselves.
 */
export const PLANNED_KINDS: ReadonlySet<FaultKind> = new Set([
  FaultKind.Terminate,
  FaultKind.Reload,
  FaultKind.Settings,
  FaultKind.Output,
  FaultKind.AddEntry,
  FaultKind.ForeignEntries,
  FaultKind.Configure,
  FaultKind.Grow,
  FaultKind.Wave,
  FaultKind.HostDrain,
]);
