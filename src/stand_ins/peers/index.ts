/** Stand-in for the network between members. */
export * from './memory_network';
