import {createMethod} from './method';
import {sesamefront} from './generated/explain';

const messages = sesamefront.explain;

/** Request for the recent decisions of a member about a subject. */
export interface DecisionSearch {
  readonly subject: string;
  /** Maximum number of decisions to return; the latest ones are returned. */
  readonly limit: number;
}

/** Recent decisions of a member. */
export interface DecisionSearchResult {
  /** Decisions as JSON texts, oldest first. */
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
