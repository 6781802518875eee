import {createMethod} from './method';
import {sesamefront} from './generated/explain';

const messages = sesamefront.explain;

/** Question for a member's recent decisions about a subject. */
export interface DecisionSearch {
  readonly subject: string;
  /** Most decisions that are returned, the latest ones. */
  readonly limit: number;
}

/** Recent decisions of one member. */
export interface DecisionSearchResult {
  /** Decisions as JSON, oldest first. */
  readonly decisions: readonly string[];
}

/** Method that searches a member's recent decisions. */
export const explainMethod = createMethod<DecisionSearch, DecisionSearchResult>(
  '/sesamefront.explain.Explain/Find',
  {
    encode: value => messages.FindRequest.encode(value),
    decode: bytes =>
      messages.FindRequest.decode(bytes) as unknown as DecisionSearch,
  },
  {
    encode: value =>
      messages.FindReply.encode({decisions: [...value.decisions]}),
    decode: bytes =>
      messages.FindReply.decode(bytes) as unknown as DecisionSearchResult,
  },
);
