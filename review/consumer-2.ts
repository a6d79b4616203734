/** A consumer that keeps channels to one node open and uses the one that was idle longest. */
import http from 'node:http';

import { HOST, KEY, now, record } from './case-2';

/** The answers of one kind that a consumer has got. */
export class Consumer {
  readonly #address: string;

  readonly #name: string;

  readonly #channels: http.Agent[] = [];

  #count = 0;

  #timer: NodeJS.Timeout | undefined;

  /**
   * @param name - the node's name, for the record
   * @param address - where the node accepts channels, `IP:port`
   */
  constructor(name: string, address: string) {
    this.#name = name;
    this.#address = address;
  }

  /** Opens channels by a request on each. */
  async open(channels: number): Promise<void> {
    for (let index = 0; index < channels; index += 1) {
      await this.#send(new http.Agent({ keepAlive: true, maxSockets: 1 }));
    }
  }

  /** Sends a request at each interval, on the kept channel that has been idle longest. */
  start(intervalMs: number): void {
    this.#timer = setInterval(() => {
      const channel = this.#channels.shift();
      if (channel) void this.#send(channel);
    }, intervalMs);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #send(channel: http.Agent): Promise<void> {
    const [host, port] = this.#address.split(':');
    this.#count += 1;
    const id = `${this.#name}-${this.#count}`;
    return new Promise((resolve) => {
      const req = http.request({
        host,
        port,
        method: 'POST',
        path: '/lohu930/2f',
        headers: {
          Host: HOST,
          Authorization: `Bearer ${KEY}`,
          'Attempt-Id': id,
          'Deadline-Ms': '800',
        },
        agent: channel,
      });
      req.on('error', () => {
        record(`request ${id}: the channel was closed at ${now()} ms`);
        resolve();
      });
      req.on('response', (res) => {
        res.resume();
        res.on('end', () => {
          record(`request ${id}: ${res.statusCode}`);
          if (res.headers.connection !== 'close') this.#channels.push(channel);
          resolve();
        });
      });
      req.end('x');
    });
  }
}
