import {When} from '@cucumber/cucumber';
import {getWorld} from './running.steps';
import {POOL} from './workflow_world';

/** Time in ms in which a call and its answer arrive. */
const CALL_MS = 3;

When(
  /^the next start reaches a host that has just restarted and falls silent for (\d+) s, and its answer (arrives|is lost)$/,
  (seconds: string, outcome: string) => {
    const {fleet, members} = getWorld();
    const [machine] = fleet.machines.keys();
    const onStart = () => {
      fleet.crash(machine, false);
      fleet.restart(machine);
      if (outcome === 'is lost') fleet.faults.lostAnswers = 1;
      setTimeout(() => {
        fleet.faults.lostAnswers = 0;
        fleet.faults.silent.add(fleet.getHost(machine)?.host.id ?? '');
      }, CALL_MS);
      setTimeout(() => fleet.faults.silent.clear(), Number(seconds) * 1_000);
    };
    for (const {callFaults} of members) {
      callFaults.onCall = call => {
        if (call !== 'start') return;
        for (const each of members) each.callFaults.onCall = () => {};
        onStart();
      };
    }
  },
);

When('another host starts', () => void getWorld().fleet.addMachine(POOL));
