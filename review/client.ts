/** HTTP requests of clients, each on a channel of its own unless an agent is given. */
import http from 'node:http';

/** A request to a process. */
export interface ClientRequest {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly agent?: http.Agent;
}

/** What a client received up to the end of the response or of its channel. */
export interface ClientResponse {
  /** 0 if the channel ended before the head of a response. */
  readonly status: number;
  readonly headers: http.IncomingHttpHeaders;
  readonly body: string;
  /** Whether the response ended rather than its channel. */
  readonly isComplete: boolean;
}

/** Sends a request, and resolves with what was received. Never rejects. */
export function send(address: string, request: ClientRequest): Promise<ClientResponse> {
  const [host, port] = address.split(':');
  const { method = 'GET', path, headers = {}, body, agent = false } = request;
  return new Promise((resolve) => {
    const req = http.request({ host, port, method, path, headers: { ...headers }, agent });
    req.on('error', () => resolve({ status: 0, headers: {}, body: '', isComplete: false }));
    req.on('response', (res) => {
      const parts: Buffer[] = [];
      res.on('data', (part: Buffer) => parts.push(part));
      res.on('error', () => undefined);
      res.on('close', () =>
        resolve({
          status: res.statusCode ?? 0,
          headers: res.headers,
          body: Buffer.concat(parts).toString(),
          isComplete: res.complete,
        }),
      );
    });
    req.end(body);
  });
}
