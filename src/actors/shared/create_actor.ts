import {ActorSystemRef, Ref, dispatch, spawn, stop} from 'nact';
import {UnexpectedErrors} from '../../telemetry';

/** An actor that handles its messages one at a time. */
export interface Actor<Message> {
  /** Sends a message without waiting. */
  tell(message: Message): void;
  /**
   * Sends a message that carries a reply address; rejects if no reply arrives
   * within 30 s.
   */
  ask<Reply>(create: (reply: Ref<Reply>) => Message): Promise<Reply>;
  /** Stops the actor; later messages are dropped. */
  dispose(): void;
}

/** Options of an actor. */
export interface ActorOptions<State, Message> {
  readonly system: ActorSystemRef;
  readonly name: string;
  readonly initial: State;
  /**
   * Handles a message and returns the next state; an error is reported and
   * leaves the state unchanged.
   */
  readonly handle: (state: State, message: Message) => State | Promise<State>;
  readonly errors: UnexpectedErrors;
  /** Called each time that several messages in a row have failed. */
  readonly onFailing?: () => void;
}

const ASK_TIMEOUT_MS = 30_000;
/** Messages in a row that fail before `onFailing` is called. */
const MAX_FAILURES = 5;

/**
 * Spawns an actor under the root of the actor system.
 *
 * @param options name, initial state and message handler
 * @returns the actor, which the caller has to dispose
 */
export function createActor<State, Message>(
  options: ActorOptions<State, Message>,
): Actor<Message> {
  const {system, name, errors} = options;
  let disposed = false;
  let askCount = 0;
  /** Messages that have failed since one was handled. */
  let failures = 0;

  async function handle(state: State, message: Message): Promise<State> {
    if (disposed) return state;
    try {
      const next = await options.handle(state, message);
      failures = 0;
      return next;
    } catch (error) {
      errors.report('actor', error, {actor: name});
      failures += 1;
      if (failures % MAX_FAILURES === 0) options.onFailing?.();
      return state;
    }
  }

  const ref = spawn(system, handle, name, {initialState: options.initial});

  /**
   * Sends a message with a uniquely named reply address and waits for the
   * reply.
   *
   * The `query` function of nact names its reply addresses with 32 random bits,
   * so two pending queries can share an address and one caller gets the other's
   * reply.
   */
  function ask<Reply>(create: (reply: Ref<Reply>) => Message): Promise<Reply> {
    if (disposed) return Promise.reject(new Error(`actor ${name} has stopped`));
    askCount += 1;
    return new Promise((resolve, reject) => {
      const receive = (_: undefined, reply: Reply) => {
        finish();
        resolve(reply);
        return undefined;
      };
      const replyName = `${name}-reply-${askCount}`;
      const replyTo = spawn(system, receive, replyName, {});
      const finish = () => {
        clearTimeout(timer);
        stop(replyTo);
      };
      const timer = setTimeout(() => {
        finish();
        reject(new Error(`actor ${name} did not reply in time`));
      }, ASK_TIMEOUT_MS);
      dispatch(ref, create(replyTo as Ref<Reply>));
    });
  }

  return {
    tell(message) {
      if (!disposed) dispatch(ref, message);
    },
    ask,
    dispose() {
      if (disposed) return;
      disposed = true;
      stop(ref);
    },
  };
}
