import {After, Before} from '@cucumber/cucumber';
import {pauseClock, resumeClock} from './clock';

export * from './clock';

/**
 * Scenarios that use real sockets are tagged to run on the real clock; they
 * wait for events only.
 */
Before({tags: 'not @real-clock'}, () => pauseClock());

After(resumeClock);
