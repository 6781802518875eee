import {Result} from 'true-myth';
import {Caller, FleetConfiguration, Queue} from '../../types/workflow';
import {digestKey} from './api_keys';
import {KeyRefusal} from './key_refusal';

/** What decides whose call it is. */
export interface CallerIdentification {
  readonly queue: Queue;
  /** The newest configuration that this process knows. */
  readonly configuration: FleetConfiguration;
  /** Time in ms since the store last confirmed the configuration. */
  readonly configurationAgeMs: number;
  /** Age in ms above which the configuration identifies nobody. */
  readonly maxConfigurationAgeMs: number;
  /** Reads the key that the call carries. */
  readonly readKey: () => Result<string, KeyRefusal>;
}

/** A call without an organisation. */
const ANYBODY: Caller = {organisation: undefined};

/**
 * Identifies the caller of a queue by its API key.
 *
 * Answers callers whose keys are added and withdrawn while they are connected:
 * each call is decided by the newest configuration alone, and by none once an
 * unreachable store may hold a newer one for longer than a change may take.
 */
export function identifyCaller({
  queue,
  configuration,
  configurationAgeMs,
  maxConfigurationAgeMs,
  readKey,
}: CallerIdentification): Result<Caller, KeyRefusal> {
  if (queue.isPublic) return Result.ok(ANYBODY);
  const key = readKey();
  if (key.isErr) return Result.err(key.error);
  if (configurationAgeMs > maxConfigurationAgeMs) {
    return Result.err(KeyRefusal.Unconfirmed);
  }
  const organisation = configuration.organisationsByKey.get(
    digestKey(key.value),
  );
  return organisation
    ? Result.ok({organisation})
    : Result.err(KeyRefusal.Unknown);
}
