package liveness

// Displaced is a hint: another process answers at its address. The address may have passed to
// another host while the former one is cut off.
const Displaced Sign = "address_taken"
