import {When} from '@cucumber/cucumber';
import {advance} from '../support/paused_clock';
import {findBusiestMachine, getWorld} from './running.steps';

async function restart(pauseMs: number, moved: boolean): Promise<void> {
  const machine = findBusiestMachine();
  const {fleet} = getWorld();
  fleet.crash(machine, false);
  await advance(pauseMs);
  fleet.restart(machine, moved);
}

When(
  'the host with the most runs crashes and is back under its id after {int} ms',
  (pauseMs: number) => restart(pauseMs, false),
);
