/**
A primitive type with a nominal tag, so that two kinds of ids cannot be confused.

@example
```ts
type OrderId = Brand<string, 'OrderId'>;
```
*/
export type Brand<Value, Name extends string> = Value & {readonly __brand: Name};
