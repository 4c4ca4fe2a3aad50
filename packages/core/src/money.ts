import {type Brand} from './brand.js';

/** An amount of money in millionths of the unit of account. Always an integer. */
export type Micros = Brand<number, 'Micros'>;

const tokensPerPriceUnit = 1_000_000;
/** Prevents an integer amount with floating-point error from being rounded up. */
const roundingTolerance = 1e-9;

/** The prices of a version, in units of account per million tokens. */
export type Prices = {
	readonly input: number;
	readonly output: number;
};

/** The numbers of tokens that an attempt used. */
export type TokenUsage = {
	readonly input: number;
	readonly output: number;
};

/**
Calculates the cost of an attempt, rounded up to a whole millionth.

@param prices The prices in units of account per million tokens.
@param usage The numbers of input and output tokens.
@returns The cost in millionths of the unit of account.
@example
```ts
calculateCost({input: 0.5, output: 2}, {input: 100, output: 10}); // 70
```
*/
export function calculateCost(prices: Prices, usage: TokenUsage): Micros {
	const micros = ((prices.input * usage.input) + (prices.output * usage.output)) * 1_000_000 / tokensPerPriceUnit;
	return Math.max(0, Math.ceil(micros - roundingTolerance)) as Micros;
}

/**
Returns the sum of amounts of money.

@param amounts The amounts in millionths.
@returns Their sum in millionths.
@example
```ts
sumAmounts([calculateCost(prices, first), calculateCost(prices, second)]);
```
*/
export function sumAmounts(amounts: Iterable<Micros>): Micros {
	let total = 0;
	for (const amount of amounts) {
		total += amount;
	}

	return total as Micros;
}
