import {WaveProgress} from '../../../decisions/fleet';
import {
  Decision,
  LeaderRecord,
  Member,
  PoolRecord,
  Profile,
  Wave,
} from '../../../types';
import {TableRow, escapeHtml, renderTable} from './html';

/** Data shown on the operators' page. */
export interface PageContent {
  /** Member that renders the page. */
  readonly memberId: string;
  /** Revision of the active configuration; 0 if there is none. */
  readonly revision: number;
  /** Time at which the page is rendered, in ms since the epoch. */
  readonly at: number;
  readonly members: readonly Member[];
  readonly pools: readonly PagePool[];
  readonly waves: readonly PageWave[];
  /** Recent decisions, newest first. */
  readonly decisions: readonly Decision[];
}

/** A pool as shown on the page. */
export interface PagePool {
  readonly profile: Profile;
  /** Number of hosts assigned to the pool. */
  readonly hosts: number;
  readonly record?: PoolRecord;
  readonly leader?: LeaderRecord;
}

/** A maintenance wave as shown on the page. */
export interface PageWave {
  readonly wave: Wave;
  readonly progress: WaveProgress;
}

const STYLE =
  'body{font:15px system-ui,sans-serif;margin:2rem;max-width:75rem}' +
  'table{border-collapse:collapse;width:100%;margin-bottom:2rem}' +
  'caption{text-align:left;font-weight:600;font-size:1.1rem;padding:.5rem 0}' +
  'th,td{text-align:left;padding:.3rem .6rem;border-bottom:1px solid #ccc}' +
  'td{vertical-align:top}';

/** Renders the operators' page as plain HTML without scripts. */
export function renderPage(content: PageContent): string {
  const {memberId, revision, at} = content;
  const renderedAt = new Date(at).toISOString();
  return [
    '<!doctype html><html lang="en"><head><meta charset="utf-8">',
    '<meta name="viewport" content="width=device-width">',
    `<title>sesamefront: ${escapeHtml(memberId)}</title>`,
    `<style>${STYLE}</style></head><body><h1>sesamefront</h1>`,
    `<p>Seen by ${escapeHtml(memberId)} at ${renderedAt}; `,
    `revision ${revision} is in force here; `,
    `${content.members.length} entry hosts.</p>`,
    renderPools(content.pools),
    renderUnavailable(content.pools),
    renderWaves(content.waves),
    renderDecisions(content.decisions),
    '</body></html>',
  ].join('');
}

function renderPools(pools: readonly PagePool[]): string {
  const columns = ['pool', 'hosts', 'unavailable', 'budget', 'leader', 'term'];
  const rows = pools.map(({profile, hosts, record, leader}): TableRow => {
    const unavailable = record?.unavailable.length ?? 0;
    return [
      profile.pool,
      `${hosts} of ${profile.hosts}`,
      unavailable,
      profile.maxUnavailable,
      leader?.memberId ?? 'none',
      record?.term ?? 0,
    ];
  });
  return renderTable('Pools and budgets', columns, rows);
}

function renderUnavailable(pools: readonly PagePool[]): string {
  const columns = ['host', 'pool', 'state', 'since', 'cause'];
  const rows = pools.flatMap(({profile, record}) =>
    (record?.unavailable ?? []).map((entry): TableRow => {
      const since = new Date(entry.since).toISOString();
      return [entry.hostId, profile.pool, entry.state, since, entry.cause];
    }),
  );
  return renderTable('What consumes the budgets', columns, rows);
}

function renderWaves(waves: readonly PageWave[]): string {
  const columns = ['wave', 'selector', 'state', 'done', 'cause', 'reason'];
  const rows = waves.map(({wave, progress}): TableRow => {
    const {kind, name} = wave.selector;
    const done = `${progress.done.length} of ${wave.hostIds.length}`;
    const selector = `${kind} ${name}`.trim();
    return [wave.id, selector, wave.state, done, wave.cause, wave.reason];
  });
  return renderTable('Maintenance waves', columns, rows);
}

function renderDecisions(decisions: readonly Decision[]): string {
  const columns = ['time', 'decision', 'about', 'pool', 'cause'];
  const rows = decisions.map(({at, kind, subject, pool, cause}): TableRow => {
    return [new Date(at).toISOString(), kind, subject, pool, cause];
  });
  return renderTable('Recent decisions of this entry host', columns, rows);
}
