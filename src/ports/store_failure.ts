/** Why a call to the key-value service failed. */
export enum StoreFailure {
  /** The call did not reach the service and had no effect. */
  Unreachable = 'unreachable',
  /** No answer was received; a write may have taken effect. */
  AnswerLost = 'answer-lost',
  /** The service rejected the call, which had no effect. */
  Rejected = 'rejected',
}
