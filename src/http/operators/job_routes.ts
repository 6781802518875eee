import {z} from 'zod';
import {JobApi, ReleaseDecision} from '../../actors/jobs';
import {Outcome, RefusalReason} from '../../types';
import {readJson, sendJson, sendProblem} from '../shared';
import {Route} from './route';

const MAX_BODY_BYTES = 4_096;

const releaseBody = z.strictObject({
  service: z.string(),
  decision: z.enum(ReleaseDecision),
});

/** Creates the route that releases a held job with an operator's decision. */
export function createJobReleaseRoutes(jobs: JobApi): readonly Route[] {
  return [
    {
      method: 'POST',
      path: '/v1/jobs/:id/release',
      async handle(request, response, id) {
        const body = await readJson<unknown>(request, MAX_BODY_BYTES);
        const checked = releaseBody.safeParse(body);
        if (!checked.success) {
          return sendProblem(response, {
            reason: RefusalReason.BadRequest,
            outcome: Outcome.NotRun,
            findings: checked.error.issues.map(issue => ({
              place: issue.path.map(String).join('.') || 'body',
              message: issue.message,
            })),
          });
        }
        const {service, decision} = checked.data;
        const result = await jobs.release(service, id, decision);
        if (result.isOk) return sendJson(response, 200, result.value);
        const {reason} = result.error;
        sendProblem(response, {reason, outcome: Outcome.NotRun});
      },
    },
  ];
}
