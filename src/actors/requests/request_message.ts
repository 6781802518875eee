import {WorkerFailure, WorkerResponse} from '../../ports';
import {Host} from '../../types';
import {WaitingRequest} from './waiting_request';

/** Kinds of messages to a pool's request actor. */
export enum RequestMessageKind {
  Submit,
  Answered,
  Ended,
  Failed,
  Review,
}

/** A message to a pool's request actor. */
export type RequestMessage =
  | {readonly kind: RequestMessageKind.Submit; readonly waiting: WaitingRequest}
  | {
      readonly kind: RequestMessageKind.Answered;
      readonly waiting: WaitingRequest;
      readonly host: Host;
      readonly response: WorkerResponse;
      readonly startedAt: number;
    }
  | {
      readonly kind: RequestMessageKind.Ended;
      readonly waiting: WaitingRequest;
      readonly host: Host;
      readonly startedAt: number;
      /** Whether the response body was truncated. */
      readonly truncated: boolean;
    }
  | {
      readonly kind: RequestMessageKind.Failed;
      readonly host: Host;
      readonly waiting: WaitingRequest;
      readonly failure: WorkerFailure;
    }
  | {readonly kind: RequestMessageKind.Review};
