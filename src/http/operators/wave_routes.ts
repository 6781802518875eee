import {z} from 'zod';
import {Waves} from '../../actors/fleet';
import {Outcome, RefusalReason, SelectorKind} from '../../types';
import {readJson, sendJson, sendProblem} from '../shared';
import {Route} from './route';

const MAX_BODY_BYTES = 65_536;

const declarationBody = z.strictObject({
  selector: z.strictObject({kind: z.enum(SelectorKind), name: z.string()}),
  reason: z.string().max(1_024),
  urgent: z.boolean().default(false),
  dueAt: z.number().positive(),
});

/** Routes that declare, list and cancel maintenance waves. */
export function createWaveRoutes(waves: Waves): readonly Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/waves',
      async answer(_, response) {
        sendJson(response, 200, waves.list());
      },
    },
    {
      method: 'GET',
      path: '/v1/waves/:id',
      async answer(_, response, id) {
        const wave = waves.list().find(known => known.id === id);
        if (wave) return sendJson(response, 200, wave);
        sendProblem(response, {
          reason: RefusalReason.NotFound,
          outcome: Outcome.NotRun,
        });
      },
    },
    {
      method: 'POST',
      path: '/v1/waves',
      async answer(request, response) {
        const body = await readJson<unknown>(request, MAX_BODY_BYTES);
        const checked = declarationBody.safeParse(body);
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
        const result = await waves.declare(checked.data);
        if (result.isOk) return sendJson(response, 201, result.value);
        sendProblem(response, {reason: result.error, outcome: Outcome.NotRun});
      },
    },
    {
      method: 'DELETE',
      path: '/v1/waves/:id',
      async answer(_, response, id) {
        const result = await waves.cancel(id);
        if (result.isOk) return sendJson(response, 200, result.value);
        sendProblem(response, {reason: result.error, outcome: Outcome.NotRun});
      },
    },
  ];
}
