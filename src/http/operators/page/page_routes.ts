import {ConfigurationActor} from '../../../actors/configuration';
import {FleetView, Waves} from '../../../actors/fleet';
import {LeadershipActor, MembershipActor} from '../../../actors/membership';
import {Telemetry} from '../../../telemetry';
import {Route} from '../route';
import {PagePool, PageWave, renderPage} from './render_page';

/** Dependencies of the operators' page. */
export interface PageOptions {
  readonly configuration: ConfigurationActor;
  readonly membership: MembershipActor;
  readonly leadership: LeadershipActor;
  readonly view: FleetView;
  readonly waves: Waves;
  readonly telemetry: Telemetry;
}

const MAX_DECISIONS = 50;
const HEADERS = {
  'content-type': 'text/html; charset=utf-8',
  'content-security-policy': "default-src 'none'; style-src 'unsafe-inline'",
  'cache-control': 'no-store',
};

/** Creates the route of the operators' page. */
export function createPageRoutes(options: PageOptions): readonly Route[] {
  const {configuration, membership, leadership, view} = options;

  function listPools(): readonly PagePool[] {
    const leaders = leadership.getLeaders();
    const profiles = configuration.current.get()?.profiles ?? [];
    return profiles.map(profile => ({
      profile,
      hosts: view.getPoolHosts(profile.pool).length,
      record: view.getRecord(profile.pool),
      leader: leaders.get(profile.pool),
    }));
  }

  function listWaves(): readonly PageWave[] {
    const newestFirst = [...options.waves.list()].sort(
      (a, b) => b.declaredAt - a.declaredAt,
    );
    return newestFirst.flatMap(wave => {
      const explained = options.waves.explain(wave.id);
      return explained.isOk ? [explained.value] : [];
    });
  }

  return [
    {
      method: 'GET',
      path: '/',
      async handle(_, response) {
        const recent = options.telemetry.decisions.find().slice(-MAX_DECISIONS);
        const page = renderPage({
          memberId: membership.self.id,
          revision: configuration.current.get()?.revision ?? 0,
          at: Date.now(),
          members: membership.members.get(),
          pools: listPools(),
          waves: listWaves(),
          decisions: [...recent].reverse(),
        });
        const body = Buffer.from(page);
        response.writeHead(200, {...HEADERS, 'content-length': body.length});
        response.end(body);
      },
    },
  ];
}
