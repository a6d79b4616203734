/** A stand-in of the platform's API, which takes usage reports. */
import http from 'node:http';
import type { AddressInfo } from 'node:net';

import { now, record } from './case-2';

/** A usage report as it arrived. */
export interface UsageCall {
  readonly at: number;
  readonly holder: string;
  readonly fence: number;
  readonly window: number;
}

/** Records each report and answers it with 200. */
export class Cloud {
  readonly calls: UsageCall[] = [];

  readonly #server = http.createServer((req, res) => {
    let body = '';
    req.on('data', (part: Buffer) => {
      body += part.toString();
    });
    req.on('end', () => {
      if (req.url === '/usage') {
        const { windowNo, counts } = JSON.parse(body) as { windowNo: number; counts: unknown };
        const holder = String(req.headers['duty-holder']);
        const fence = Number(req.headers['fence-token']);
        this.calls.push({ at: now(), holder, fence, window: windowNo });
        record(
          `usage of window ${windowNo} from ${holder}, fence ${fence}, counts ${JSON.stringify(counts)}: 200`,
        );
        res.end('{}');
      } else res.writeHead(404).end();
    });
  });

  async start(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.listen(0, '127.0.0.1', resolve);
    });
  }

  /** `IP:port`. */
  get address(): string {
    return `127.0.0.1:${(this.#server.address() as AddressInfo).port}`;
  }
}
