import {createGrpcCredentials, createGrpcPeerServer} from '../adapters/peer';
import {createCallerHandler} from '../http/callers';
import {
  createHostRoutes,
  createJobReleaseRoutes,
  createOperatorHandler,
  createPageRoutes,
  createProfileRoutes,
  createStatusRoutes,
  createWaveRoutes,
} from '../http/operators';
import {createListener} from '../http/shared';
import {TlsIdentity} from '../security';
import {Settings} from '../settings';
import {delay} from '../state';
import {Log, Telemetry, createTelemetry} from '../telemetry';
import {Member} from '../types';
import {createCore} from './core';
import {createAdapters} from './adapters';

/** A running entry host. */
export interface EntryHost {
  readonly member: Member;
  readonly telemetry: Telemetry;
  /** Whether new requests are accepted. */
  isReady(): boolean;
  /** Ends the terms in which this member leads pools. */
  endTerms(cause: string): void;
  /**
   * Stops as planned: hands over leaderships and completes requests in flight.
   */
  stop(): Promise<void>;
}

/**
 * Delay between reporting not ready and closing the callers' port, in ms; lets
 * load balancers notice.
 */
const BALANCER_DELAY_MS = 500;
/** Maximum time to wait for the handover of leaderships, in ms. */
const HANDOVER_TIMEOUT_MS = 5_000;
/** Maximum time to wait for a port that is in use, in ms. */
const BIND_TIMEOUT_MS = 10_000;
const BIND_RETRY_MS = 500;

/**
 * Creates and starts an entry host.
 *
 * The ports are bound before the actors are created, since the membership
 * record contains the port numbers; calls that arrive in between are refused.
 *
 * @param settings validated settings
 * @param identity TLS identity of all ports; without one, the ports use no TLS
 * @param telemetry log, metrics and decisions of this member
 */
export async function createEntryHost(
  settings: Settings,
  identity?: TlsIdentity,
  telemetry: Telemetry = createTelemetry(settings.memberId, settings.logLevel),
): Promise<EntryHost> {
  const {address, memberId} = settings;
  const credentials = identity && createGrpcCredentials(identity);
  const adapters = createAdapters(settings, telemetry, credentials);
  const {log} = telemetry;
  const callers = await retryBind(log, () =>
    createListener(address, settings.callerPort, {}, identity),
  );
  const operators = await retryBind(log, () =>
    createListener(address, settings.operatorPort, {}, identity),
  );
  const peerServer = await retryBind(log, () =>
    createGrpcPeerServer(address, settings.peerPort, credentials?.server),
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
    adapters,
    telemetry,
    slotPolicy: settings.slotPolicy,
    silenceMs: settings.silenceMs,
    claimRetentionMs: settings.claimRetentionMs,
    jobRetentionMs: settings.jobRetentionMs,
    seeds: (settings.seeds ?? []).map(createSeedMember),
  });
  peerServer.serve(core.handlers);
  callers.serve(createCallerHandler({...core, telemetry}));
  operators.serve(
    createOperatorHandler(
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
    endTerms: core.leadership.endTerms,
    stop: () => (stopped ??= stop()),
  };
}

/**
 * Binds a port, and waits for it while another process, such as the previous
 * one of this entry host, uses it or the machine does not have the address.
 *
 * @throws Error if the port can't be bound
 */
async function retryBind<T>(log: Log, bind: () => Promise<T>): Promise<T> {
  const retryUntil = performance.now() + BIND_TIMEOUT_MS;
  for (;;) {
    try {
      return await bind();
    } catch (error) {
      const {message} = error as Error;
      const isPassing = /EADDRINUSE|EADDRNOTAVAIL/.test(message);
      if (!isPassing || performance.now() >= retryUntil) throw error;
      log.warn('port not bound yet', {cause: message});
      await delay(BIND_RETRY_MS);
    }
  }
}

/**
 * Creates a placeholder for a member of which only the address is known, from
 * `address:port`.
 */
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
