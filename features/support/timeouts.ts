import {setDefaultTimeout} from '@cucumber/cucumber';

/**
 * Long, because scenarios run on the paused clock and must not fail on a busy
 * machine.
 */
const STEP_TIMEOUT_MS = 300_000;

setDefaultTimeout(STEP_TIMEOUT_MS);
