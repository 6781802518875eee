import {ConfigurationActor} from '../../actors/configuration';
import {FleetView} from '../../actors/fleet';
import {
  Explanations,
  Heartbeats,
  LeadershipActor,
  MembershipActor,
  Relay,
} from '../../actors/membership';
import {Telemetry} from '../../telemetry';
import {sendJson} from '../shared';
import {Route} from './route';

/** Dependencies of the status routes. */
export interface StatusOptions {
  readonly configuration: ConfigurationActor;
  readonly membership: MembershipActor;
  readonly leadership: LeadershipActor;
  readonly heartbeats: Heartbeats;
  readonly relay: Relay;
  readonly explanations: Explanations;
  readonly view: FleetView;
  readonly telemetry: Telemetry;
  readonly isReady: () => boolean;
}

/**
 * Creates the routes for health checks, metrics, the state of members, pools
 * and hosts, and the explanation of decisions.
 */
export function createStatusRoutes(options: StatusOptions): readonly Route[] {
  const {configuration, membership, leadership, view, telemetry} = options;
  return [
    {
      method: 'GET',
      path: '/healthz',
      isPublic: true,
      async handle(_, response) {
        sendJson(response, 200, {alive: true});
      },
    },
    {
      method: 'GET',
      path: '/readyz',
      isPublic: true,
      async handle(_, response) {
        const ready = options.isReady();
        sendJson(response, ready ? 200 : 503, {ready});
      },
    },
    {
      method: 'GET',
      path: '/metrics',
      isPublic: true,
      async handle(_, response) {
        const text = await telemetry.registry.metrics();
        response.writeHead(200, {
          'content-type': telemetry.registry.contentType,
        });
        response.end(text);
      },
    },
    {
      method: 'GET',
      path: '/v1/status',
      async handle(_, response) {
        const leaders = leadership.getLeaders();
        const profiles = configuration.current.get()?.profiles ?? [];
        sendJson(response, 200, {
          memberId: membership.self.id,
          revision: configuration.current.get()?.revision ?? 0,
          members: options.heartbeats.getMemberStatuses(),
          store: getStoreStatus(options),
          pools: profiles.map(profile => ({
            pool: profile.pool,
            leader: leaders.get(profile.pool)?.memberId,
            leaderSince: leaders.get(profile.pool)?.since,
            term: view.records.entries.get().get(`pools/${profile.pool}`)?.value
              .term,
            hosts: view.getPoolHosts(profile.pool).length,
            unavailable:
              view.records.entries.get().get(`pools/${profile.pool}`)?.value
                .unavailable ?? [],
            maxUnavailable: profile.maxUnavailable,
          })),
        });
      },
    },
    {
      method: 'GET',
      path: '/v1/hosts',
      async handle(_, response) {
        const profiles = configuration.current.get()?.profiles ?? [];
        const hosts = profiles.flatMap(({pool}) =>
          view.getPoolHosts(pool).map(entry => ({pool, ...entry})),
        );
        sendJson(response, 200, hosts);
      },
    },
    {
      method: 'GET',
      path: '/v1/explain/:id',
      async handle(_, response, id) {
        sendJson(response, 200, await options.explanations.explain(id));
      },
    },
  ];
}

/** Returns the state of this member's connection to the store. */
function getStoreStatus({membership, relay}: StatusOptions) {
  return {
    leaseHeld: membership.getLease() !== undefined,
    connected: relay.isConnected(),
    ageMs: Math.round(relay.getAgeMs()),
    fedBy: relay.getSource() ?? 'store',
  };
}
