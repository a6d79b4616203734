/** How the end of an HTTP response is marked. */

/** Whether the headers of a response let its end be told from the close of its connection. */
export function isDelimited(headers: readonly string[]): boolean {
  const coding = findHeaderValues(headers, 'transfer-encoding').at(-1);
  // A body that is coded otherwise than in chunks ends with its connection, whatever its length.
  if (coding !== undefined) return /(^|[,\s])chunked\s*$/.test(coding);
  return findHeaderValues(headers, 'content-length').length > 0;
}

/** Lists the values of a header in lower case, of names and values in turn. */
export function findHeaderValues(headers: readonly string[], name: string): string[] {
  return headers
    .filter((_, index) => index % 2 === 1 && headers[index - 1]?.toLowerCase() === name)
    .map((value) => value.toLowerCase());
}
