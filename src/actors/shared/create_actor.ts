import {ActorSystemRef, Ref, dispatch, query, spawn, stop} from 'nact';
import {Log} from '../../telemetry';

/** An actor that handles its messages one at a time. */
export interface Actor<Message> {
  /** Sends a message without waiting. */
  tell(message: Message): void;
  /** Sends a message that carries a reply address and waits for the reply. */
  ask<Reply>(create: (reply: Ref<Reply>) => Message): Promise<Reply>;
  /** Stops the actor; later messages are dropped. */
  dispose(): void;
}

/** What an actor is made of. */
export interface ActorOptions<State, Message> {
  readonly system: ActorSystemRef;
  readonly name: string;
  readonly initial: State;
  /** Returns the next state; an error is logged and leaves the state as it was. */
  readonly handle: (state: State, message: Message) => State | Promise<State>;
  readonly log: Log;
}

const ASK_TIMEOUT_MS = 30_000;

/**
 * Spawns an actor under the system's root.
 *
 * @param options name, initial state and behaviour
 * @returns the actor, which its owner disposes
 */
export function createActor<State, Message>(
  options: ActorOptions<State, Message>,
): Actor<Message> {
  const {system, name, log} = options;
  let disposed = false;

  async function handle(state: State, message: Message): Promise<State> {
    if (disposed) return state;
    try {
      return await options.handle(state, message);
    } catch (error) {
      log.error('actor failed on a message', {
        actor: name,
        error: (error as Error).stack,
      });
      return state;
    }
  }

  const ref = spawn(system, handle, name, {initialState: options.initial});

  return {
    tell(message) {
      if (!disposed) dispatch(ref, message);
    },
    ask: create =>
      query(ref as Ref<unknown>, create as never, ASK_TIMEOUT_MS) as never,
    dispose() {
      if (disposed) return;
      disposed = true;
      stop(ref);
    },
  };
}
