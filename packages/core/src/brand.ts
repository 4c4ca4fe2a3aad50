/**
A value of a plain type that carries a name, so that two kinds of id cannot be mixed up.

@example
```ts
type OrderId = Brand<string, 'OrderId'>;
```
*/
export type Brand<Value, Name extends string> = Value & {readonly __brand: Name};
