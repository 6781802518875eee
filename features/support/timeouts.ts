import {setDefaultTimeout} from '@cucumber/cucumber';

/** Scenarios run on the paused clock, so a busy machine must not fail one. */
const STEP_LIMIT_MS = 300_000;

setDefaultTimeout(STEP_LIMIT_MS);
