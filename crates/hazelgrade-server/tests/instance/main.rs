mod common;
mod crossings;
mod input;
mod process;
mod serving;
