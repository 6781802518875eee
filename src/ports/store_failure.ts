/** Why a call to the key-value service gave no answer. */
export enum StoreFailure {
  /** The call did not reach the service: it took no effect. */
  Unreachable = 'unreachable',
  /** No answer came: a write may have taken effect. */
  AnswerLost = 'answer-lost',
  /** The service refused the call: it took no effect. */
  Rejected = 'rejected',
}
