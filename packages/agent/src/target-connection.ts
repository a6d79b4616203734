/** A connection to the target that fails a response which a reset has cut. */
import { onConnectionReset } from '@hibiscushill/base';
import { Client, type Dispatcher, buildConnector } from 'undici';

interface ConnectionState {
  wasReset: boolean;
}

/**
 * A client of one connection. The library takes a reset for the end of a response that has no
 * length; this client reports an error instead.
 */
export class TargetConnection extends Client {
  readonly #state: ConnectionState;

  /**
   * @param origin - the target's URL
   * @param options - the library's options; `connect` holds those of its connector
   */
  constructor(origin: URL, options: Client.Options) {
    const state = { wasReset: false };
    const connect = buildConnector(options.connect as buildConnector.BuildOptions);
    super(origin, {
      ...options,
      connect: (target, callback) =>
        connect(target, (error, socket) => {
          if (error) {
            callback(error, null);
            return;
          }
          state.wasReset = false;
          onConnectionReset(socket, () => {
            state.wasReset = true;
          });
          callback(null, socket);
        }),
    });
    this.#state = state;
  }

  override dispatch(
    options: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    return super.dispatch(options, failCutResponse(handler, this.#state));
  }
}

/** Wraps a handler of the library's older interface, which its `request` still uses. */
function failCutResponse(
  handler: Dispatcher.DispatchHandler,
  state: Readonly<ConnectionState>,
): Dispatcher.DispatchHandler {
  let isDelimited = true;
  return {
    onConnect: (abort) => handler.onConnect?.(abort),
    onHeaders: (status, headers, resume, statusText) => {
      isDelimited = hasEndMark(headers);
      return handler.onHeaders?.(status, headers, resume, statusText) ?? true;
    },
    onData: (chunk) => handler.onData?.(chunk) ?? true,
    onComplete: (trailers) => {
      if (isDelimited || !state.wasReset) handler.onComplete?.(trailers);
      else handler.onError?.(new Error('connection reset before the end of the response'));
    },
    onError: (error) => handler.onError?.(error),
  };
}

/** Tells whether a length or chunks mark the end of a response. */
function hasEndMark(headers: readonly Buffer[]): boolean {
  return headers.some(
    (header, index) =>
      index % 2 === 0 &&
      ['content-length', 'transfer-encoding'].includes(header.toString('latin1').toLowerCase()),
  );
}
