//! Which new flows are refused while a service has too little room.
