/** Example sites whose sizes the demo, the tests and the benches use. */
export * from './site';
export * from './sites';
