/** The ratio of the lengths of two neighbouring classes. */
const classFactor = 4;

/**
Returns the class of a length: lengths of one class differ by less than a factor of four.

@param tokens The length; 0 if it is not known.
@returns The class; 0 for a length that is not known.
@example
```ts
lengthClass(80); // 4
```
*/
export function lengthClass(tokens: number): number {
	return tokens > 0 ? 1 + Math.floor(Math.log(Math.max(1, tokens)) / Math.log(classFactor)) : 0;
}
