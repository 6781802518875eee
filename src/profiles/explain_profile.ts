import ms from 'ms';
import {Profile} from '../types';

/**
 * Explains the meaning of a profile in sentences for an operator.
 *
 * @param profile the profile
 */
export function explainProfile(profile: Profile): readonly string[] {
  const {pool} = profile;
  return [
    `${profile.services.join(', ')} ${getVerb(profile.services)} on pool ${pool}.`,
    `They can rely on ${profile.hosts} hosts.`,
    budgetSentence(profile),
    `The rank of their work relative to other services is ${profile.rank}.`,
    `A request without a deadline waits at most ${ms(profile.deadlineMs)}.`,
    `At most ${profile.queueLimit} requests wait at one entry host; further requests are refused without being run.`,
    `A burst of requests reclaims slots from long work within ${ms(profile.preemptionMs)}.`,
    idempotenceSentence(profile),
    quotaSentence(profile),
    `Long work keeps at least ${percent(profile.longWorkMinimum)} of the slots.`,
    maintenanceSentence(profile),
    profile.spare
      ? `Pool ${pool} lends hosts to pools with a sustained shortage.`
      : `Pool ${pool} does not lend hosts.`,
  ];
}

function getVerb(services: readonly string[]): string {
  return services.length === 1 ? 'runs' : 'run';
}

function budgetSentence({maxUnavailable, hosts}: Profile): string {
  return `Maintenance and moves never take more than ${maxUnavailable} of ${hosts} hosts at once; failed hosts are included.`;
}

function idempotenceSentence({idempotent}: Profile): string {
  return idempotent
    ? 'A request is idempotent and may be retried unless it specifies otherwise.'
    : 'A request is run at most once unless it specifies otherwise.';
}

function quotaSentence({teamQuotas}: Profile): string {
  const quotas = Object.entries(teamQuotas);
  if (quotas.length === 0) return 'Teams share the slots without quotas.';
  const shares = quotas.map(([team, share]) => `${team} ${percent(share)}`);
  return `Under contention, each team holds at most its share of the slots: ${shares.join(', ')}.`;
}

function maintenanceSentence({maintenanceIntervalMs}: Profile): string {
  if (maintenanceIntervalMs === 0)
    return 'No maintenance is scheduled automatically.';
  return `Each host is maintained at least every ${ms(maintenanceIntervalMs, {long: true})}.`;
}

function percent(share: number): string {
  return `${Math.round(share * 100)}%`;
}
