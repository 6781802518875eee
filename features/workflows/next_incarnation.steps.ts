import {When} from '@cucumber/cucumber';
import {advance} from '../support/paused_clock';
import {getWorld} from './running.steps';

When(
  'the host restarts after {int} ms and stays silent',
  async (pauseMs: number) => {
    const {fleet} = getWorld();
    const [machine] = fleet.machines.keys();
    fleet.crash(machine, true);
    await advance(pauseMs);
    fleet.restart(machine);
    fleet.faults.silent.add(fleet.getHost(machine)?.host.id ?? '');
  },
);
