import {ServerResponse} from 'node:http';
import {z} from 'zod';
import {Waves} from '../../actors/fleet';
import {Outcome, RefusalReason, SelectorKind} from '../../types';
import {readJson, sendJson, sendProblem} from '../shared';
import {Route} from './route';
import {sendResult} from './send_result';

const MAX_BODY_BYTES = 65_536;

const declarationBody = z.strictObject({
  selector: z.strictObject({kind: z.enum(SelectorKind), name: z.string()}),
  reason: z.string().max(1_024),
  urgent: z.boolean().default(false),
  dueAt: z.number().positive(),
});

const planBody = z.strictObject({selector: declarationBody.shape.selector});

/**
 * Creates the routes that plan, declare, list, explain, resume and cancel
 * maintenance waves.
 */
export function createWaveRoutes(waves: Waves): readonly Route[] {
  return [
    {
      method: 'GET',
      path: '/v1/waves',
      async handle(_, response) {
        sendJson(response, 200, waves.list());
      },
    },
    {
      method: 'GET',
      path: '/v1/waves/:id',
      async handle(_, response, id) {
        const explained = waves.explain(id).map(({wave, ...rest}) => ({
          ...wave,
          ...rest,
        }));
        sendResult(response, 200, explained);
      },
    },
    {
      method: 'POST',
      path: '/v1/wave-plans',
      async handle(request, response) {
        const body = await readJson<unknown>(request, MAX_BODY_BYTES);
        const checked = planBody.safeParse(body);
        if (!checked.success) return sendFindings(response, checked.error);
        sendResult(response, 200, waves.plan(checked.data.selector));
      },
    },
    {
      method: 'POST',
      path: '/v1/waves',
      async handle(request, response) {
        const body = await readJson<unknown>(request, MAX_BODY_BYTES);
        const checked = declarationBody.safeParse(body);
        if (!checked.success) return sendFindings(response, checked.error);
        sendResult(response, 201, await waves.declare(checked.data));
      },
    },
    {
      method: 'POST',
      path: '/v1/waves/:id/resume',
      async handle(_, response, id) {
        sendResult(response, 200, await waves.resume(id));
      },
    },
    {
      method: 'DELETE',
      path: '/v1/waves/:id',
      async handle(_, response, id) {
        sendResult(response, 200, await waves.cancel(id));
      },
    },
  ];
}

function sendFindings(response: ServerResponse, error: z.ZodError): void {
  sendProblem(response, {
    reason: RefusalReason.BadRequest,
    outcome: Outcome.NotRun,
    findings: error.issues.map(issue => ({
      place: issue.path.map(String).join('.'),
      message: issue.message,
    })),
  });
}
