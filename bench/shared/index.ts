/** Types and helpers shared by all benches. */
export * from './bench';
export * from './child';
export * from './measure';
export * from './process_site';
export * from './series';
