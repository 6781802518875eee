import {When} from '@cucumber/cucumber';
import {FleetEventKind} from '../../src/stand_ins/fleet';
import {getWorld} from './running.steps';

/** Time in ms in which a call and its answer arrive. */
const CALL_MS = 3;

When(
  'the host restarts just before the first start after its next end, whose answer the leader reads {int} ms late',
  (ms: number) => {
    const {fleet, members} = getWorld();
    const [machine] = fleet.machines.keys();
    const bornAt = fleet.getHost(machine)?.host.bornAt ?? 0;
    const countEnds = () =>
      fleet.events.filter(({kind}) => kind === FleetEventKind.End).length;
    const earlierEnds = countEnds();
    for (const {callFaults} of members) {
      callFaults.onCall = call => {
        if (call !== 'start' || countEnds() === earlierEnds) return;
        for (const each of members) each.callFaults.onCall = () => {};
        fleet.crash(machine, false);
        fleet.restart(machine, false, bornAt - 1);
        callFaults.answerDelayMs = ms;
        setTimeout(() => {
          callFaults.answerDelayMs = 0;
        }, CALL_MS);
      };
    }
  },
);
