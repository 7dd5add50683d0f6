/** Suggestions for misspelled names. */

/** Largest edit distance of a suggestion, relative to the longer name. */
const MAX_DISTANCE_RATIO = 0.4;

/** Finds the known name with the smallest edit distance, if it is close enough. */
export function findNearestName(
  name: string,
  known: readonly string[],
): string | undefined {
  const ranked = known
    .map(candidate => ({candidate, distance: countEdits(name, candidate)}))
    .sort((one, other) => one.distance - other.distance);
  const nearest = ranked[0];
  if (nearest === undefined) return undefined;
  const longest = Math.max(name.length, nearest.candidate.length);
  return nearest.distance <= longest * MAX_DISTANCE_RATIO
    ? nearest.candidate
    : undefined;
}

/** Computes the Levenshtein distance of two words, ignoring case. */
function countEdits(one: string, other: string): number {
  const from = one.toLowerCase();
  const to = other.toLowerCase();
  let previous = Array.from({length: to.length + 1}, (_, index) => index);
  for (let row = 1; row <= from.length; row += 1) {
    const current = [row];
    for (let column = 1; column <= to.length; column += 1) {
      const substitutionCost = from[row - 1] === to[column - 1] ? 0 : 1;
      current[column] = Math.min(
        previous[column] + 1,
        current[column - 1] + 1,
        previous[column - 1] + substitutionCost,
      );
    }
    previous = current;
  }
  return previous[to.length];
}
