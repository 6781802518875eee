import {createGrpcCredentials, createGrpcPeerServer} from '../adapters/peer';
import {createCallersHandle} from '../http/callers';
import {
  createHostRoutes,
  createJobReleaseRoutes,
  createOperatorsHandle,
  createPageRoutes,
  createProfileRoutes,
  createStatusRoutes,
  createWaveRoutes,
} from '../http/operators';
import {createListener} from '../http/shared';
import {TlsIdentity} from '../security';
import {Settings} from '../settings';
import {delay} from '../state';
import {Telemetry, createTelemetry} from '../telemetry';
import {Member} from '../types';
import {createCore} from './core';
import {createAdapters} from './outside';

/** A running entry host. */
export interface Entry {
  readonly member: Member;
  readonly telemetry: Telemetry;
  /** True while new requests are welcome. */
  isReady(): boolean;
  /** Planned stop: hands everything over and finishes requests in flight. */
  stop(): Promise<void>;
}

/** Time between the loss of readiness and the end of listening, in ms. */
const BALANCER_DELAY_MS = 500;
/** Longest wait for leaderships to be handed over, in ms. */
const HANDOVER_TIMEOUT_MS = 5_000;

/**
 * Wires and starts an entry host.
 *
 * The ports are bound before the actors exist, since the member's record names
 * them; calls that come earlier are refused.
 *
 * @param settings checked settings
 * @param identity TLS material of all ports; plain ports without one
 */
export async function createEntry(
  settings: Settings,
  identity?: TlsIdentity,
): Promise<Entry> {
  const {address, memberId} = settings;
  const telemetry = createTelemetry(memberId, settings.logLevel);
  const credentials = identity && createGrpcCredentials(identity);
  const outside = createAdapters(settings, credentials);
  const callers = await createListener(
    address,
    settings.callerPort,
    {},
    identity,
  );
  const operators = await createListener(
    address,
    settings.operatorPort,
    {},
    identity,
  );
  const peerServer = await createGrpcPeerServer(
    address,
    settings.peerPort,
    credentials?.server,
  );

  const member: Member = {
    id: memberId,
    availabilityZone: settings.availabilityZone,
    address,
    callerPort: callers.port,
    operatorPort: operators.port,
    peerPort: peerServer.port,
    startedAt: Date.now(),
    leaving: false,
  };
  const core = createCore({
    self: member,
    outside,
    telemetry,
    slotPolicy: settings.slotPolicy,
    silenceMs: settings.silenceMs,
    claimRetentionMs: settings.claimRetentionMs,
    jobRetentionMs: settings.jobRetentionMs,
    seeds: (settings.seeds ?? []).map(createSeedMember),
  });
  peerServer.serve(core.handlers);
  callers.serve(createCallersHandle({...core, telemetry}));
  operators.serve(
    createOperatorsHandle(
      [
        ...createProfileRoutes(core),
        ...createWaveRoutes(core.waves),
        ...createHostRoutes(core.hosts),
        ...createPageRoutes({...core, telemetry}),
        ...createJobReleaseRoutes(core.jobs),
        ...createStatusRoutes({...core, telemetry}),
      ],
      settings.operatorToken,
    ),
  );
  let stopped: Promise<void> | undefined;

  async function stop(): Promise<void> {
    const handedOver = core
      .startStop()
      .catch((error: Error) =>
        telemetry.log.error('handing over failed', {error: error.message}),
      );
    callers.startClosing();
    await delay(BALANCER_DELAY_MS);
    await Promise.race([handedOver, delay(HANDOVER_TIMEOUT_MS)]);
    await callers.dispose();
    await core.finishStop();
    await operators.dispose();
    await peerServer.dispose();
  }

  return {
    member,
    telemetry,
    isReady: core.isReady,
    stop: () => (stopped ??= stop()),
  };
}

/** Returns a member of which only the address is known. */
function createSeedMember(text: string): Member {
  const colon = text.lastIndexOf(':');
  return {
    id: `seed-${text}`,
    availabilityZone: '',
    address: text.slice(0, colon),
    callerPort: 0,
    operatorPort: 0,
    peerPort: Number(text.slice(colon + 1)),
    startedAt: 0,
    leaving: false,
  };
}
