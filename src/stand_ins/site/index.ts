/** The sizes of both sites of the brief. */
export * from './site';
export * from './sites';
