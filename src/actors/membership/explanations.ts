import {decisionFormat, decodeText} from '../../formats';
import {PeerHandler, Peers} from '../../ports';
import {
  DecisionSearch,
  DecisionSearchResult,
  explainMethod,
} from '../../protocol';
import {Telemetry} from '../../telemetry';
import {Decision, Member} from '../../types';

/** Decisions about one subject, collected from all members. */
export interface Explanation {
  /** Sorted by time, oldest first. */
  readonly decisions: readonly Decision[];
  readonly askedMembers: readonly string[];
  /**
   * Members that did not answer; their decisions are missing from the result.
   */
  readonly silentMembers: readonly string[];
}

/** Collects decisions from all members. */
export interface Explanations {
  /** Returns the recorded decisions about a subject. */
  explain(subject: string): Promise<Explanation>;
}

/** Dependencies of the explanations. */
export interface ExplanationsOptions {
  readonly peers: Peers;
  readonly telemetry: Telemetry;
  /** Returns the other members, including those that are leaving. */
  readonly getOthers: () => readonly Member[];
}

const CALL_TIMEOUT_MS = 1_000;
/** Maximum number of decisions that one member returns. */
const MAX_DECISIONS = 200;

/** Creates the collector of decisions. */
export function createExplanations(options: ExplanationsOptions): Explanations {
  const {peers, telemetry, getOthers} = options;

  async function ask(
    member: Member,
    subject: string,
  ): Promise<readonly Decision[] | undefined> {
    const request = {subject, limit: MAX_DECISIONS};
    const reply = await peers.call(
      member,
      explainMethod,
      request,
      CALL_TIMEOUT_MS,
    );
    if (reply.isErr) return undefined;
    return reply.value.decisions.flatMap(text =>
      decodeText(decisionFormat, text).unwrapOr([]),
    );
  }

  return {
    async explain(subject) {
      const others = getOthers();
      const own = telemetry.decisions.find(subject).slice(-MAX_DECISIONS);
      const answers = await Promise.all(
        others.map(member => ask(member, subject)),
      );
      const decisions = [...own, ...answers.flatMap(found => found ?? [])];
      return {
        decisions: decisions.sort((a, b) => a.at - b.at),
        askedMembers: others.map(({id}) => id),
        silentMembers: others
          .filter((_, i) => answers[i] === undefined)
          .map(({id}) => id),
      };
    },
  };
}

/**
 * Creates the handler of other members' searches in the decisions of this
 * member.
 */
export function createExplainHandler(
  telemetry: Telemetry,
): PeerHandler<DecisionSearch, DecisionSearchResult> {
  return {
    method: explainMethod,
    handle: async ({subject, limit}) => ({
      decisions: telemetry.decisions
        .find(subject)
        .slice(-Math.min(limit, MAX_DECISIONS))
        .map(decision => JSON.stringify(decision)),
    }),
  };
}
