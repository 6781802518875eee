import {After, Before} from '@cucumber/cucumber';
import {pauseClock, resumeClock} from './clock';

export * from './clock';

/** Scenarios over real sockets keep the real clock and wait for events only. */
Before({tags: 'not @real-clock'}, () => pauseClock());

After(resumeClock);
