import ms from 'ms';
import {Profile} from '../types';

/**
 * Explains what a profile means, in one sentence per field.
 *
 * @param profile the profile
 */
export function explainProfile(profile: Profile): readonly string[] {
  const {pool} = profile;
  return [
    `${profile.services.join(', ')} ${getVerb(profile.services)} on pool ${pool}.`,
    `They may count on ${profile.hosts} hosts.`,
    budgetSentence(profile),
    `Their work ranks as ${profile.rank} against other services.`,
    `A request without a deadline waits at most ${ms(profile.deadlineMs)}.`,
    `At most ${profile.queueLimit} requests wait at one entry host; more are refused as not run.`,
    `A burst gets slots back from long work within ${ms(profile.preemptionMs)}.`,
    idempotenceSentence(profile),
    quotaSentence(profile),
    `Long work keeps at least ${percent(profile.longWorkMinimum)} of the slots.`,
    maintenanceSentence(profile),
    profile.spare
      ? `Pool ${pool} lends hosts to pools in lasting need.`
      : `Pool ${pool} lends no hosts.`,
  ];
}

function getVerb(services: readonly string[]): string {
  return services.length === 1 ? 'runs' : 'run';
}

function budgetSentence({maxUnavailable, hosts}: Profile): string {
  return `Maintenance and moves never take more than ${maxUnavailable} of ${hosts} hosts at once; failed hosts count.`;
}

function idempotenceSentence({idempotent}: Profile): string {
  return idempotent
    ? 'A request that does not say otherwise is idempotent and may be retried.'
    : 'A request that does not say otherwise is run at most once.';
}

function quotaSentence({teamQuotas}: Profile): string {
  const quotas = Object.entries(teamQuotas);
  if (quotas.length === 0) return 'Teams share the slots without quotas.';
  const shares = quotas.map(([team, share]) => `${team} ${percent(share)}`);
  return `Under contention teams hold at most: ${shares.join(', ')}.`;
}

function maintenanceSentence({maintenanceIntervalMs}: Profile): string {
  if (maintenanceIntervalMs === 0)
    return 'No maintenance is planned by itself.';
  return `Each host is maintained at least every ${ms(maintenanceIntervalMs, {long: true})}.`;
}

function percent(share: number): string {
  return `${Math.round(share * 100)}%`;
}
