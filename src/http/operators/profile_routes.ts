import {z} from 'zod';
import {ConfigurationActor} from '../../actors/configuration';
import {Heartbeats} from '../../actors/membership';
import {
  ConfigurationSpread,
  MemberVerdict,
  Outcome,
  Rank,
  RefusalReason,
} from '../../types';
import {readJson, sendJson, sendProblem} from '../shared';
import {Route} from './route';

const MAX_BODY_BYTES = 1_048_576;

const profileBody = z.strictObject({
  name: z.string(),
  pool: z.string(),
  services: z.array(z.string()),
  hosts: z.int(),
  maxUnavailable: z.int().min(0),
  rank: z.enum(Rank),
  deadlineMs: z.number().positive(),
  queueLimit: z.int().positive(),
  preemptionMs: z.number().min(0),
  idempotent: z.boolean(),
  teamQuotas: z.record(z.string(), z.number()),
  longWorkMinimum: z.number(),
  maintenanceIntervalMs: z.number(),
  spare: z.boolean(),
});

const changeBody = z.strictObject({
  baseRevision: z.int().min(0),
  operationId: z.string().min(1).max(128),
  author: z.string().max(128),
  profiles: z.array(profileBody),
});

/** Dependencies of the configuration routes. */
export interface ProfileRoutesOptions {
  readonly configuration: ConfigurationActor;
  readonly heartbeats: Heartbeats;
}

/** Creates the routes that read and change the configuration. */
export function createProfileRoutes(
  options: ProfileRoutesOptions,
): readonly Route[] {
  const {configuration} = options;
  return [
    {
      method: 'GET',
      path: '/v1/configuration',
      async handle(_, response) {
        sendJson(response, 200, configuration.current.get() ?? null);
      },
    },
    {
      method: 'GET',
      path: '/v1/configuration/history',
      async handle(_, response) {
        sendJson(response, 200, configuration.listAcceptances());
      },
    },
    {
      method: 'GET',
      path: '/v1/configuration/history/:id',
      async handle(_, response, id) {
        const found = await configuration.readRevision(Number(id));
        if (found) return sendJson(response, 200, found);
        sendProblem(response, {
          reason: RefusalReason.NotFound,
          outcome: Outcome.NotRun,
          detail: `revision ${id} is not kept, or the store is away`,
        });
      },
    },
    {
      method: 'GET',
      path: '/v1/configuration/spread',
      async handle(_, response) {
        sendJson(response, 200, getConfigurationSpread(options));
      },
    },
    {
      method: 'PUT',
      path: '/v1/configuration',
      async handle(request, response) {
        const body = await readJson<unknown>(request, MAX_BODY_BYTES);
        const checked = changeBody.safeParse(body);
        if (!checked.success) {
          return sendProblem(response, {
            reason: RefusalReason.BadRequest,
            outcome: Outcome.NotRun,
            findings: checked.error.issues.map(issue => ({
              place: issue.path.map(String).join('.'),
              message: issue.message,
            })),
          });
        }
        const result = await configuration.apply(checked.data);
        if (result.isOk) return sendJson(response, 200, result.value);
        const {reason, findings, current, differences} = result.error;
        sendProblem(response, {
          reason,
          outcome:
            reason === RefusalReason.OutcomeUnknown
              ? Outcome.Unknown
              : Outcome.NotRun,
          findings,
          currentRevision: current?.revision,
          differences,
        });
      },
    },
  ];
}

function getConfigurationSpread({
  configuration,
  heartbeats,
}: ProfileRoutesOptions): ConfigurationSpread {
  const members = heartbeats
    .getMemberStatuses()
    .filter(({verdict}) => verdict !== MemberVerdict.Gone)
    .map(({memberId, revision, verdict}) => ({memberId, revision, verdict}));
  return {revision: configuration.current.get()?.revision ?? 0, members};
}
