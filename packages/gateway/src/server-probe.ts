/** Whether a server still accepts connections. */
import { connect } from 'node:net';

// A server in the same region accepts or refuses a connection within a few milliseconds.
const LISTENING_TIMEOUT_MS = 200;

/**
 * Tells whether a server accepts connections; true also if that can't be told. The operating system
 * of a killed process closes its connections in order, and refuses new ones.
 */
export function isListening(address: string): Promise<boolean> {
  const [host = '', port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), timeout: LISTENING_TIMEOUT_MS });
    const settle = (value: boolean): void => {
      socket.destroy();
      resolve(value);
    };
    socket.once('connect', () => settle(true));
    socket.once('timeout', () => settle(true));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => settle(code !== 'ECONNREFUSED'));
  });
}
