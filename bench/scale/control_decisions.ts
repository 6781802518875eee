import {checkProfileSet, diffProfiles} from '../../src/decisions/configuration';
import {assignLeaders} from '../../src/decisions/membership';
import {createProfiles, findSite} from '../../src/stand_ins/site';
import {Member, Profile} from '../../src/types';
import {Slope} from './slope';

const POOL_COUNTS: readonly number[] = [5, 20, 40, 69];
const MEMBER_COUNTS: readonly number[] = [7, 20, 40, 80];
const HOST_COUNTS: readonly number[] = [40, 400, 1_200, 3_600];
/** Size that the system is designed for. */
const DESIGN_POOLS = 69;
const DESIGN_TEAMS = 62;
const DESIGN_HOSTS = 3_600;
const QUICK_ROUND_COUNT = 20;
const ROUND_COUNT = 100;

/**
 * Measures the CPU time of the control decisions alone, without store or
 * network.
 */
export function measureControlDecisions(quick: boolean): readonly Slope[] {
  const rounds = quick ? QUICK_ROUND_COUNT : ROUND_COUNT;
  return [
    {
      role: 'leader assignment, all pools vacant, 7 members',
      axis: 'pools',
      cost: 'cpu ms per review',
      points: POOL_COUNTS.map(pools => ({
        x: pools,
        y: measureCpuMs(rounds, () => assignPools(pools, 7, false)),
      })),
    },
    {
      role: 'leader assignment, all pools vacant, 69 pools',
      axis: 'members',
      cost: 'cpu ms per review',
      points: MEMBER_COUNTS.map(members => ({
        x: members,
        y: measureCpuMs(rounds, () =>
          assignPools(DESIGN_POOLS, members, false),
        ),
      })),
    },
    {
      role: 'leader assignment, all pools led, 69 pools',
      axis: 'members',
      cost: 'cpu ms per review',
      points: MEMBER_COUNTS.map(members => ({
        x: members,
        y: measureCpuMs(rounds, () => assignPools(DESIGN_POOLS, members, true)),
      })),
    },
    {
      role: 'configuration check and difference, 62 teams',
      axis: 'pools',
      cost: 'cpu ms per change',
      points: POOL_COUNTS.map(pools => ({
        x: pools,
        y: measureCpuMs(rounds, () => checkAndDiff(pools, DESIGN_HOSTS)),
      })),
    },
    {
      role: 'configuration check and difference, 69 pools and 62 teams',
      axis: 'hosts',
      cost: 'cpu ms per change',
      points: HOST_COUNTS.map(hosts => ({
        x: hosts,
        y: measureCpuMs(rounds, () => checkAndDiff(DESIGN_POOLS, hosts)),
      })),
    },
    {
      role: 'configuration value, 62 teams',
      axis: 'pools',
      cost: 'bytes',
      points: POOL_COUNTS.map(pools => ({
        x: pools,
        y: JSON.stringify(createDesignProfiles(pools, DESIGN_HOSTS)).length,
      })),
    },
  ];
}

function assignPools(
  pools: number,
  members: number,
  hasLeaders: boolean,
): void {
  const names = Array.from({length: pools}, (_, i) => `pool-${i}`);
  const list = Array.from(
    {length: members},
    (_, i) => ({id: `member-${i}`, leaving: false}) as Member,
  );
  const leaders = new Map(
    hasLeaders ? names.map((name, i) => [name, `member-${i % members}`]) : [],
  );
  assignLeaders(names, list, leaders);
}

function checkAndDiff(pools: number, hosts: number): void {
  const before = createDesignProfiles(pools, hosts);
  const after = before.map((profile, i) =>
    i === 0 ? {...profile, deadlineMs: profile.deadlineMs + 1} : profile,
  );
  checkProfileSet(after, hosts);
  diffProfiles(before, after);
}

/** Creates one profile per pool, each with a quota for all 62 teams. */
function createDesignProfiles(
  pools: number,
  hosts: number,
): readonly Profile[] {
  const [first] = createProfiles(findSite('orbitica'));
  const teamQuotas = Object.fromEntries(
    Array.from({length: DESIGN_TEAMS}, (_, i) => [
      `team-${i}`,
      1 / DESIGN_TEAMS,
    ]),
  );
  return Array.from({length: pools}, (_, i) => ({
    ...first,
    name: `profile-${i}`,
    pool: `pool-${i}`,
    services: [`service-${i}`],
    hosts: Math.floor(hosts / pools),
    teamQuotas,
    spare: i === 0,
  }));
}

/**
 * Returns the mean CPU time of a call in ms, after as many calls for warm-up.
 */
function measureCpuMs(rounds: number, run: () => void): number {
  for (let i = 0; i < rounds; i += 1) run();
  const before = process.cpuUsage();
  for (let i = 0; i < rounds; i += 1) run();
  const {user, system} = process.cpuUsage(before);
  return (user + system) / 1_000 / rounds;
}
