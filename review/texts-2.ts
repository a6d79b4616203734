/** The texts that the model replicas generate. */

/** Creates an event of the text of a request, as it stands in the stream. */
export function createEvent(attempt: string, number: number): string {
  return `id: ${number}\ndata: ${createPiece(attempt, number)}\n\n`;
}

/** Creates the whole text of a request. */
export function createText(attempt: string, events: number): string {
  return Array.from({ length: events }, (_, index) => createPiece(attempt, index + 1)).join('\n');
}

function createPiece(attempt: string, number: number): string {
  return `piece ${number} of ${attempt}`;
}
