import type {Result} from 'true-myth/result';

/** Decides which hosts may run a step; no call throws. */
export interface PlacementAdvisor {
  /**
   * Requests tickets, with which hosts accept the tasks of a step.
   *
   * @param step step of an occurrence, as it appears in the names of its tasks
   * @param hostIds ids of the candidate hosts, at most 100
   * @returns tickets by host id, for the hosts that may run the step
   */
  requestTickets(
    step: string,
    hostIds: readonly string[],
  ): Promise<Result<ReadonlyMap<string, string>, AdviceFailure>>;
}

/** Why a call to the advice service failed. */
export enum AdviceFailure {
  Busy = 'busy',
  NoAnswer = 'no-answer',
}
